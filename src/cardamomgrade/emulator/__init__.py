"""Emulates the users' platform (store, executors, VMs) for tests and experiments."""
