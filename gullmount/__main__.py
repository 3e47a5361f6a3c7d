"""`python -m gullmount`: the command line."""

from gullmount.cli import main

if __name__ == "__main__":
    main(prog_name="gullmount")
