"""What is measured, one module for each subject; `catalogue.MEASUREMENTS` holds all measurements."""
