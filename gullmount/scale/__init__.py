"""How far the system carries the target: slopes that were measured, what follows from them, and fleets on one
machine. Nothing of it is known to what `run` loads."""
