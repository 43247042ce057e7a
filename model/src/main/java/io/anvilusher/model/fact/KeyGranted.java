package io.anvilusher.model.fact;

/**
 * An operator granted a key to a workspace. The log contains only a hash of the secret.
 *
 * @param keyId public part of the key
 * @param workspace name of the workspace
 * @param secretHash SHA-256 of the secret part, in hexadecimal
 */
public record KeyGranted(String keyId, String workspace, String secretHash) implements Fact {

}
