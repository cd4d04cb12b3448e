"""Records in the state service: encoding, the mirror of the store, group commit."""
