"""What lasts: a box of the timetable's register on `sqlite3`."""
