"""Fleet capacity and maintenance manager for a fixed estate of VMs."""
