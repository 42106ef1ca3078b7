"""One request's life between fronts, carriers and the decision module. No sockets, no decisions."""
