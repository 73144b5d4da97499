Feature: Clients that do not behave harm only themselves
  Each scenario runs the process of an instance with low limits of memory and of file
  descriptors, and a crowd that keeps its connections open. Refusing or closing the
  crowd is allowed. The process must live within its limits and serve other callers.

  Background:
    Given an instance process with 96 MB and 700 descriptors

  Scenario Outline: Crowd at the sessions' port: <messages>
    # Guards against a process that runs out of memory.
    When <count> clients send <messages>
    Then the process lives within its limits
    And an ordinary request is answered

    Examples: statements that end half-way
      | count | messages          |
      | 120   | half a statement  |

    Examples: handshakes that end half-way
      | count | messages          |
      | 120   | half a handshake  |

    Examples: messages over the limit
      | count | messages          |
      | 120   | 4 MiB without end |

    Examples: large statements at once
      | count | messages          |
      | 120   | a large statement |

    Examples: session values
      | count | messages          |
      | 10    | 200 large values  |

    Examples: prepared names
      | count | messages          |
      | 10    | 8000 long names   |

    Examples: unread large answers
      | count | messages          |
      | 150   | a read of a large item, and read no answer |

    Examples: statements ahead
      | count | messages          |
      | 20    | 2000 reads ahead, and read no answer |

  Scenario: Connections that send nothing
    # Guards against half-open connections that keep ordinary callers out.
    When 400 clients send nothing
    Then the process lives within its limits
    And an ordinary request is answered

  Scenario: Connections that are reset at the limit of sessions
    # Guards against an error of one refused connection that ends the process.
    Given 200 idle sessions
    When 100 clients send a handshake and reset the connection
    Then the process lives within its limits

  Scenario Outline: Crowd at the <port> port: <messages>
    # Guards against the memory and the descriptors of ports that are not for callers.
    When <count> clients send <messages> to the <port> port
    Then the process lives within its limits
    And an ordinary request is answered

    Examples: idle connections at the readiness port
      | count | messages         | port      |
      | 900   | nothing          | readiness |

    Examples: bodies that end half-way at the readiness port
      | count | messages         | port      |
      | 120   | half a body      | readiness |

    Examples: bodies that end half-way at the metrics port
      | count | messages         | port      |
      | 120   | half a body      | metrics   |

    Examples: idle connections at the peers' port
      | count | messages         | port      |
      | 900   | nothing          | peer      |

    Examples: frames that end half-way at the peers' port
      | count | messages         | port      |
      | 60    | half a frame     | peer      |
