"""Plays scripts of faults: on processes of the program on loopback, or in one process and virtual time."""
