"""Days of our own for the users' bench: troubles that its standard days lack."""
