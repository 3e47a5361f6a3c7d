"""Stand-ins of clients, servers, discovery and release controller for the cases, on loopback addresses."""
