"""Stand-ins of clients, servers, discovery and the platform, shared by the cases of this review."""
