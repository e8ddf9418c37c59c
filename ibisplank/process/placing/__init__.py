"""Which slot of which backend server a call gets, and what its answer shows."""
