"""What stands in for the outside in tests: state service, cloud, workers and clock, all in memory."""
