"""One umpire on a network: takes HTTP reqs, feeds the decision module and does what it asks.

Use it as a library: `async with RunningUmpire(terms, net=..., seed=...)`. Two in one process share nothing.
"""

from gullmount.umpire.running import Memory, NoMemory, RunningUmpire
from gullmount.umpire.store import FileMemory
from gullmount.umpire.terms import UmpireTerms

__all__ = ["FileMemory", "Memory", "NoMemory", "RunningUmpire", "UmpireTerms"]
