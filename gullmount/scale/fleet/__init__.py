"""A fleet on one machine: processes of the control roles, some real umpires, hollow ones for the rest."""
