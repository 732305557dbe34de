"""Jobs: steps of tasks that callers submit and that run on leased executors."""
