Feature: Single faults
  The guarantees (one owner of a slice at a time, at most one execution of a request
  with an idempotency key) hold under each fault that the users name. Slices are served
  again within two seconds wherever a witness can detect the loss of their owner.
  A lookup is a GET; a credit is a POST with an idempotency key.

  Scenario: A daemon is lost
    Given a mesh of 6 members
    When member 1 is lost
    Then every slice is served within 2 s
    And the log holds 1 failover record
    And the guarantees hold

  Scenario: A daemon is partitioned from all peers and the log
    Given a mesh of 6 members
    When member 2 is partitioned from all other members and the log
    And 3 s pass
    Then every slice is still served
    When the partitions are healed
    Then every slice is served within 2 s
    And the guarantees hold

  Scenario Outline: A short pause closes no member
    Given a mesh of 6 members
    When member 3 is paused
    And <seconds> s pass
    And member 3 resumes
    And 4 s pass
    Then no member was closed
    And every slice is still served

    Examples:
      | seconds |
      | 0.2     |
      | 0.5     |

  Scenario: A lease lapses while its holder is paused
    Given a mesh of 6 members
    When member 4 is paused
    And 3 s pass
    Then every slice is still served
    When member 4 resumes
    And lookups for 20 keys are sent to member 4
    Then every request succeeded
    And the guarantees hold

  Scenario: The log is unavailable for a long time
    Given a mesh of 6 members
    When the log goes down
    And 60 s pass
    And lookups for 20 keys are sent to member 2
    Then every request succeeded
    And every slice is still served
    And no member was closed

  Scenario: The log is slow
    Given a mesh of 6 members
    When each call to the log takes 0.4 s
    And member 5 is lost
    Then every slice is served within 4 s
    And the guarantees hold

  Scenario: An answer of the log is lost after its effect
    Given a mesh of 6 members
    When the answers of the log are lost
    And member 6 is lost
    Then every slice is served within 2 s
    And the log holds 1 failover record

  Scenario: Two operators publish intents at the same time
    Given a mesh of 6 members
    When two operators publish intents that replace the same version
    Then one of the two intents is in force at every member

  Scenario: A frozen target resumes
    Given a mesh of 6 members
    When the target of member 1 freezes
    And a credit for "batch-3" is sent to member 1
    And 8 s pass
    And the target of member 1 resumes
    And the credit for "batch-3" is sent again to member 2
    Then the guarantees hold

  Scenario: A planned stop interrupts no request
    Given a mesh of 6 members
    When lookups for 30 keys are sent to member 2
    And member 2 receives a stop request
    And lookups for 30 keys are sent to member 2
    And lookups for 30 keys are sent to member 3
    Then member 2 exits within 5 s
    And every request succeeded
    And every slice is still served

  Scenario: A leaving target gets no new requests after three seconds
    Given a mesh of 6 members
    When an operator publishes an intent in which member 1 is leaving
    And 3 s pass
    And lookups for 40 keys are sent to member 1
    Then every request succeeded
    And member 1 started no request later than 3 s after that intent

  Scenario: A single member serves only while it reaches the log
    Given a mesh of 1 members
    Then every slice is still served
    When the log goes down
    And 3 s pass
    And lookups for 1 keys are sent to member 1
    Then the last request is refused as "no_owner"
    When the log recovers
    Then every slice is served within 2 s

  Scenario: One of two members, the only witness of the other, is lost
    Given a mesh of 2 members
    When member 1 is lost
    Then every slice is served within 2.5 s
    And the guarantees hold
