"""Loss and return of zones: pure decisions, and what is stored of them."""
