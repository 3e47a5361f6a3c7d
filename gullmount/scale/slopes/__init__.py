"""What is measured, a module a subject; `catalogue.MEASURES` holds all of them."""
