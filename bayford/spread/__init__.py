"""Load spread: where tasks go, and migrations of running ones when the load is uneven. Pure decisions."""
