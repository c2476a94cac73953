"""Additional days for the users' benchmark, with faults that its own days lack."""
