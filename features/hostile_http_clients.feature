Feature: HTTP clients that do not behave harm only themselves
  Each scenario runs the process of the HTTP front end, which keeps its connections
  within its own settings, and a crowd that keeps its connections open.

  Background:
    Given an HTTP front end with 144 MB and 200 connections

  Scenario Outline: Crowd at the <port> port: <messages>
    # Guards against a process that runs out of memory or of descriptors.
    When <count> clients send <messages> to the <port> port
    Then the process lives within its limits
    And the front end answers an ordinary request

    Examples: bodies that end half-way at the callers' port
      | count | messages    | port    |
      | 180   | half a body | callers |

    Examples: bodies in small chunks at the callers' port
      | count | messages            | port    |
      | 20    | half a chunked body | callers |

    Examples: idle connections at the callers' port
      | count | messages | port    |
      | 400   | nothing  | callers |

    Examples: idle connections at the administration's port
      | count | messages | port           |
      | 400   | nothing  | administration |

    Examples: bodies that end half-way at the administration's port
      | count | messages    | port           |
      | 180   | half a body | administration |
