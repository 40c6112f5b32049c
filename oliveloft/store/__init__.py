"""The store in which planners agree on ownership of shards: compare-and-set, leases and watches, such as etcd."""
