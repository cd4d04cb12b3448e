"""Load spread: where tasks go, and moves of running ones when the load is uneven. Pure decisions."""
