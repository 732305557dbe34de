Feature: snapshot

  Scenario: a snapshot and the tail are as good as all records
    Then generated histories go on from a snapshot at any cut as from all records

  Scenario: two snapshots at once do no harm
    Then generated histories with snapshot records fold to the same state

  Scenario: a torn or foreign snapshot is refused
    Then generated losses and changes of parts are refused
