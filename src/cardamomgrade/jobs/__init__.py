"""Jobs that callers submit: steps of tasks, which run on leased executors."""
