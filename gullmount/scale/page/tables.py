"""All generated tables of the capacity page. No I/O."""

from __future__ import annotations

from gullmount.scale.figures import Figures
from gullmount.scale.page.figure_tables import origins_table, runs_table, slopes_table, target_table
from gullmount.scale.page.requirement_tables import breaks_table, bursts_table, fronted_table, roles_table
from gullmount.scale.requirements.assessment import CapacityModel
from gullmount.scale.requirements.catalogue import REQUIREMENTS


def make_tables(figures: Figures) -> dict[str, list[str]]:
    """Return the lines of each table by the name that its marker in the page has."""
    model = CapacityModel(figures)
    assessments = model.assess_all(REQUIREMENTS)
    return {
        "breaks": breaks_table(assessments),
        "roles": roles_table(assessments, figures),
        "fronted": fronted_table(model),
        "bunching": bursts_table(model),
        "target": target_table(figures.target),
        "runs": runs_table(figures),
        "slopes": slopes_table(model, figures),
        "origin": origins_table(figures),
    }
