"""Paths of the repository's own folders, independent of the location of the importing test."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DAYS = ROOT / "days"
DATA = ROOT / "tests" / "data"
