"""Where planners agree on who plans what: a store with compare-and-set, leases and watch, such as etcd."""
