"""Real control decisions in step with the models of the specification."""
