"""How far the system carries the target: measured slopes, what follows from them, and fleets on one machine.

Nothing of it is imported by what `run` loads.
"""
