"""The program that serves control: a thin shell round the timetable, the roster and the telegraph."""
