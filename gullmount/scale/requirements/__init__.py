"""What each role needs at a size of the fleet by the present mechanisms, and where its budget is spent."""
