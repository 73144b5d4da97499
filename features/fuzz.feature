Feature: Input from outside raises no unhandled exception
  Bytes, bodies and settings are decoded to a value or a typed refusal.

  Scenario Outline: Any input of the <part> gives a value or a typed refusal
    # Guards against input that ends a task by an exception, and thereby the instance.
    Then 300 generated inputs of the <part> raise no exception

    Examples:
      | part            |
      | HTTP server     |
      | caller API      |
      | peer frames     |
      | session token   |
      | admin API       |
      | member protocol |
      | settings        |
      | admission       |
      | caller protocol |
