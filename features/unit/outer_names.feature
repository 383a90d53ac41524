Feature: Names on the wire, in stored data and in metrics
  Guards against a field, class or metric that is renamed in the code and
  thereby on the wire, in a file or on a dashboard: VMs of two versions would
  not understand each other, and stored state would not be read.

  Scenario: Each message and stored record has the bytes that earlier versions wrote
    Given a sample of each message and stored record
    Then its encoding is the one recorded in "wire_samples.json"

  Scenario: Each message and stored record of earlier versions is read back whole
    Given the encodings recorded in "wire_samples.json"
    When each one is decoded and encoded again
    Then the bytes are the same

  Scenario: Messages from before a field was added are read back whole
    Then nothing of messages recorded in "wire_samples_without_traits.json" is lost by new fields
    And nothing of messages recorded in "wire_samples_without_departures.json" is lost by new fields
    And nothing of messages recorded in "wire_samples_without_output_tokens.json" is lost by new fields
    And nothing of messages recorded in "wire_samples_without_capacity.json" is lost by new fields

  Scenario: Metrics keep their names
    Then the daemon has the metrics
      | name                             |
      | baobabwharf_requests_total       |
      | baobabwharf_refusals_total       |
      | baobabwharf_retries_total        |
      | baobabwharf_forwarded_total      |
      | baobabwharf_attempts_ended_total |
      | baobabwharf_crash_evidence_total |
      | baobabwharf_records_skipped_total |
      | baobabwharf_placement_asks_total |
      | baobabwharf_input_bytes          |
      | baobabwharf_input_limit_bytes    |
      | baobabwharf_input_largest_bytes  |
      | baobabwharf_input_closed_total   |
      | baobabwharf_request_seconds      |
      | baobabwharf_first_block_seconds  |
      | baobabwharf_first_event_ratio    |
      | baobabwharf_log_lines_dropped    |
      | baobabwharf_config_revision      |
      | baobabwharf_config_history_bytes |
      | baobabwharf_replica_log_bytes    |
      | baobabwharf_replica_leads        |
      | baobabwharf_replica_voters       |
