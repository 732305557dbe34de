Feature: snapshots of the fleet state

  Scenario: a snapshot and the later records give the same state as all records
    Then generated histories continued from a snapshot at any offset give the same state

  Scenario: snapshot records in the stream do not change the state, even of two at once
    Then generated histories with snapshot records fold to the same state

  Scenario: an incomplete, altered or mixed snapshot is refused
    Then snapshots with a generated loss or alteration of a part are refused
