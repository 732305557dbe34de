Feature: client of the log service

  Scenario: records are delivered once and in order through faults
    Given a feed of a log stand-in
    When 30 records are appended while answers are lost and the log goes down
    Then the feed delivers each kept record once, in offset order
    And no append was called unavailable whose record the log holds

  Scenario: a reader that fails ends its process
    Given a feed whose reader raises an error
    When a record is appended
    Then the loop ends with the status of an internal error
