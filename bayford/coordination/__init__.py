"""Who owns what, and the engine that decides for the jobs it owns."""
