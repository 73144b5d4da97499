Feature: Signals that reach a process while it starts
  The imports of a process take a few tenths of a second, and longer on a busy machine.

  Scenario Outline: <signals> during the imports
    # Guards against the default action of a signal, which ends a starting process with
    # an error although only its settings have changed, or it is asked to stop.
    Given a process of the deploy file that has begun its imports
    When it receives <signals>
    Then it ends with the exit status 0

    Examples:
      | signals             |
      | SIGTERM             |
      | SIGINT              |
      | SIGHUP, SIGTERM     |
