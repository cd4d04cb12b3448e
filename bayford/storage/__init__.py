"""Records in the state service: encoding, the watch cache of the store, group commit."""
