Feature: Failures in the support of the tests are reported
  A run of the checks ends with a failed scenario or with a traceback, never without both.

  Scenario: A task ends the event loop of a scenario by an error
    # Guards against the end of behave by trio.Cancelled, without a summary or a cause.
    Given an event loop in a thread
    When one of its tasks ends by an error while a call is in progress
    Then the call fails with that error as its cause
    And further calls and the end of the thread fail in the same way

  Scenario: A task ends by an error while it is cancelled
    # Guards against errors at the end of a scenario that nobody sees.
    Given an event loop in a thread
    When one of its tasks ends by an error once it is cancelled
    Then the end of the thread fails with that error as its cause

  Scenario: An error ends behave in a step
    # Guards against a traceback that is lost in the captured output of the step.
    Given a feature whose step raises an error that behave does not handle
    When the script of the checks runs it
    Then the step counts as failed, and the output ends with the traceback

  Scenario: The free ports of an address are different
    # Guards against instances that can't listen, as the kernel repeats closed ports.
    When 300 free ports are chosen
    Then all of them and the ports after them are different
