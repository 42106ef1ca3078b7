"""The decision module: every decision about requests, free of I/O. It never knows who hands it events."""
