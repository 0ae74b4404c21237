"""The decisions on one request, free of I/O: its attempts, their endpoints, and what bounds them."""
