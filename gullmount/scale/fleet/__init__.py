"""A fleet on one machine: processes of the control roles, a few real proxies, hollow clients for the rest."""
