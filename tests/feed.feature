Feature: client of the log service

  Scenario: records are delivered once and in order despite faults of the log
    Given a feed of a simulated log
    When 30 records are appended while responses are lost and the log has an outage
    Then the feed delivers each stored record once, in offset order
    And no append was reported as unavailable although the log holds its record

  Scenario: an exception in the record handler ends the process
    Given a feed whose record handler raises an exception
    When a record is appended
    Then the loop exits with the status of an internal error
