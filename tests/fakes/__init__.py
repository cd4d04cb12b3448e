"""In-memory fakes of the key-value store, the cloud, the workers and the clock."""
