"""The generated tables of docs/CAPACITY.md, and how they are put into the page."""
