"""Typed messages of every outside interface; wire names live here and nowhere else."""
