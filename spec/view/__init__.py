"""Model of the view, of authority and of shares."""
