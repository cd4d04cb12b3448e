"""Pure decisions of admission under overload: the level, the choice, how load becomes a level."""
