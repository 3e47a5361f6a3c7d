"""The users' platform as one more way in and out of an umpire: configuration, discovery, control service,
peers' datagrams, signals. Decides nothing; docs/protocols.md has the formats."""
