"""The commands, each module loaded when one of its own is called: a serving process needs no other."""
