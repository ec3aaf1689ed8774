"""State and tasks that live as long as the process."""
