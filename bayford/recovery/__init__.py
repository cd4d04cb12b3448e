"""Loss and return of zones: state transitions, task outcomes and stored records. No I/O."""
